# Language standard, warnings, compiler cache and build options.
set(CMAKE_CXX_STANDARD 20)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)

if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()
set(CMAKE_CXX_FLAGS_RELWITHDEBINFO "-O1 -g1")

add_compile_options(-Wall -Wextra -Wpedantic -Wshadow -Wno-missing-field-initializers)
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
  # GCC 12 gives false positives of these warnings for inlined string concatenation.
  add_compile_options(-Wno-array-bounds -Wno-restrict)
endif()

option(NUTMEGSPUR_PCH "Precompile the Qt and library headers" ON)
option(NUTMEGSPUR_SANITIZE "Build with the address and undefined-behaviour sanitizers" OFF)
set(NUTMEGSPUR_ABLATE "" CACHE STRING
  "Name of one safety mechanism to leave out (see nutmegspur/mechanisms.h), to show its test fail")

if(NUTMEGSPUR_SANITIZE)
  # What a conversion of a number too large gives depends on the processor; "undefined" leaves it out.
  set(sanitizers -fsanitize=address,undefined,float-cast-overflow)
  add_compile_options(${sanitizers} -fno-omit-frame-pointer)
  add_link_options(${sanitizers})
endif()

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE_PROGRAM}")
endif()
if(NUTMEGSPUR_PCH)
  # ccache needs this flag to cache compilations with precompiled headers.
  add_compile_options(-fpch-preprocess)
endif()
