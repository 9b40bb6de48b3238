# Declares plug-ins.

# nutmegspur_plugin(<name> SOURCES <file>... [LIBRARIES <lib>...])
# Plug-ins are linked as object files: from a static library, the linker would drop code that is
# only reached through its self-registration.
function(nutmegspur_plugin name)
  cmake_parse_arguments(arg "" "" "SOURCES;LIBRARIES" ${ARGN})
  add_library(${name} OBJECT ${arg_SOURCES})
  target_link_libraries(${name} PUBLIC nutmegspur_lib ${arg_LIBRARIES})
  target_include_directories(${name} PUBLIC "${CMAKE_CURRENT_SOURCE_DIR}")
  if(NUTMEGSPUR_PCH)
    target_precompile_headers(${name} REUSE_FROM nutmegspur_lib)
  endif()
  set_property(GLOBAL APPEND PROPERTY NUTMEGSPUR_PLUGINS ${name})
endfunction()
