# Finds all external libraries that the project uses.
set(CMAKE_AUTOMOC OFF)
find_package(Threads REQUIRED)
find_package(Qt6 6.4 REQUIRED COMPONENTS Core Network HttpServer)
find_package(msgpack REQUIRED)
find_package(cxxopts REQUIRED)
find_package(glog REQUIRED)
find_package(tl-expected REQUIRED)
option(NUTMEGSPUR_TESTS "Build the tests, and need their libraries" ON)
if(NUTMEGSPUR_TESTS)
  find_package(GTest REQUIRED)
  find_package(rapidcheck REQUIRED)
endif()
find_package(PkgConfig REQUIRED)
pkg_check_modules(libuv REQUIRED IMPORTED_TARGET libuv)

add_library(nutmegspur_external INTERFACE)
target_link_libraries(nutmegspur_external INTERFACE
  Qt6::Core Qt6::Network Qt6::HttpServer msgpackc-cxx cxxopts::cxxopts glog::glog
  tl::expected Threads::Threads)
target_compile_definitions(nutmegspur_external INTERFACE
  MSGPACK_NO_BOOST QT_NO_KEYWORDS QT_NO_CAST_TO_ASCII)
