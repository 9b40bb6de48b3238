# Declares tests.
enable_testing()
# Otherwise a finding about undefined behaviour is printed and its test passes.
set(sanitizer_environment "UBSAN_OPTIONS=halt_on_error=1:print_stacktrace=1")

# nutmegspur_test(<name> SOURCES <file>... [LABELS <label>...] [LIBRARIES <lib>...])
# Adds a GoogleTest program and its ctest entry. Labels P01..P14 name the promises that it tests.
function(nutmegspur_test name)
  if(NOT NUTMEGSPUR_TESTS)
    return()
  endif()
  cmake_parse_arguments(arg "" "" "SOURCES;LABELS;LIBRARIES" ${ARGN})
  add_executable(${name} ${arg_SOURCES})
  target_link_libraries(${name} PRIVATE
    nutmegspur_testing nutmegspur_lib GTest::gtest_main rapidcheck ${arg_LIBRARIES})
  target_compile_definitions(${name} PRIVATE NUTMEGSPUR_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
  if(NUTMEGSPUR_PCH)
    target_precompile_headers(${name} REUSE_FROM nutmegspur_lib)
  endif()
  add_test(NAME ${name} COMMAND ${name})
  set_tests_properties(${name} PROPERTIES
    LABELS "${arg_LABELS}"
    ENVIRONMENT "RC_PARAMS=seed=20261204;QT_QPA_PLATFORM=offscreen;${sanitizer_environment}"
    TIMEOUT 120)
endfunction()

# nutmegspur_system_test(<case> [LABELS <label>...])
# Adds a whole-program case: testsuite/<case>/run is run with the build directory as its argument.
function(nutmegspur_system_test name)
  cmake_parse_arguments(arg "" "" "LABELS" ${ARGN})
  add_test(NAME system_${name}
    COMMAND "${CMAKE_SOURCE_DIR}/testsuite/${name}/run" "${CMAKE_BINARY_DIR}")
  set_tests_properties(system_${name} PROPERTIES
    LABELS "system;${arg_LABELS}"
    ENVIRONMENT "${sanitizer_environment}"
    TIMEOUT 180)
endfunction()
