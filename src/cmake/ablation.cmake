# Leaves out the safety mechanism that NUTMEGSPUR_ABLATE names.

# Defines it only for the sources that ask for a mechanism, so that all others come from the compiler
# cache. Included last, since a property of a source is set in the directory that compiles it.
if(NUTMEGSPUR_ABLATE)
  file(GLOB_RECURSE candidates "${CMAKE_SOURCE_DIR}/src/*.cpp" "${CMAKE_SOURCE_DIR}/src/*.h"
    "${CMAKE_SOURCE_DIR}/platform/*.cpp" "${CMAKE_SOURCE_DIR}/platform/*.h")
  foreach(file IN LISTS candidates)
    file(STRINGS "${file}" include_line REGEX "^#include <nutmegspur/mechanisms.h>" LIMIT_COUNT 1)
    if(NOT include_line)
      continue()
    endif()
    if(file MATCHES "\\.h$")
      message(FATAL_ERROR "${file}: only sources may include mechanisms.h")
    endif()
    string(REGEX MATCH "^${CMAKE_SOURCE_DIR}/(src/[^/]+|platform)" dir "${file}")
    set_source_files_properties("${file}" DIRECTORY "${dir}" PROPERTIES
      COMPILE_DEFINITIONS "NUTMEGSPUR_ABLATE=\"${NUTMEGSPUR_ABLATE}\"")
  endforeach()
endif()
