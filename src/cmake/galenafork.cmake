# Build rules for all libraries and programs of galenafork.
#
#   galena_library(NAME LIBS lib... TEST_LIBS lib...)
#       builds a library from the folder's *.cpp, and the unit-test program
#       NAME_test from its *_test.cpp
#   galena_program(NAME LIBS lib...)
#       builds a program from the folder's *.cpp

set(CMAKE_CXX_STANDARD 17)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_RUNTIME_OUTPUT_DIRECTORY "${CMAKE_BINARY_DIR}/bin")

set(GALENA_SANITIZE "" CACHE STRING "Value for -fsanitize=, or empty")

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
    set(CMAKE_CXX_COMPILER_LAUNCHER "${CCACHE_PROGRAM}")
endif()

find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
# Programs link the libraries below statically where Debian ships an archive.
# Entry instances have a few hundredths of a core, and the dynamic loader's
# relocations are the largest part of a process's start.
set(Boost_USE_STATIC_LIBS ON)
find_package(Boost 1.74 REQUIRED COMPONENTS program_options)
set(CMAKE_FIND_LIBRARY_SUFFIXES .a .so)
# Uses pkg-config, because Debian's CMake package of Cap'n Proto looks for
# libatomic only outside the compiler's folders and fails.
pkg_check_modules(CAPNP_RPC REQUIRED IMPORTED_TARGET capnp-rpc)
pkg_check_modules(KJ_HTTP REQUIRED IMPORTED_TARGET kj-http)
set(CMAKE_FIND_LIBRARY_SUFFIXES .so .a)
find_package(tl-expected REQUIRED)
find_package(doctest REQUIRED)
find_package(rapidcheck REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(benchmark REQUIRED)
pkg_check_modules(ACE REQUIRED IMPORTED_TARGET ACE)
pkg_check_modules(COAP REQUIRED IMPORTED_TARGET libcoap-3-gnutls)

add_link_options(-Wl,--as-needed)

enable_testing()

add_library(galena_options INTERFACE)
target_include_directories(galena_options INTERFACE
    "${CMAKE_SOURCE_DIR}/src/include" "${CMAKE_SOURCE_DIR}/src")
target_compile_options(galena_options INTERFACE
    -Wall -Wextra -Wpedantic -Wshadow -Wnon-virtual-dtor -Werror)
target_compile_definitions(galena_options INTERFACE
    GALENA_VERSION="${PROJECT_VERSION}")
target_link_libraries(galena_options INTERFACE tl::expected Threads::Threads)
if(GALENA_SANITIZE)
    target_compile_options(galena_options INTERFACE
        "-fsanitize=${GALENA_SANITIZE}" -fno-omit-frame-pointer
        -fno-sanitize-recover=undefined)
    target_link_options(galena_options INTERFACE
        "-fsanitize=${GALENA_SANITIZE}")
endif()

function(galena_library name)
    cmake_parse_arguments(ARG "" "" "LIBS;TEST_LIBS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS *.cpp *.c++)
    file(GLOB tests CONFIGURE_DEPENDS *_test.cpp)
    if(tests)
        list(REMOVE_ITEM sources ${tests})
    endif()
    if(sources)
        add_library(${name} STATIC ${sources})
        target_link_libraries(${name} PUBLIC galena_options ${ARG_LIBS})
    else()
        add_library(${name} INTERFACE)
        target_link_libraries(${name} INTERFACE galena_options ${ARG_LIBS})
    endif()
    if(tests)
        add_executable(${name}_test ${tests})
        target_link_libraries(${name}_test PRIVATE
            ${name} ${ARG_TEST_LIBS} galena_test_main)
        add_test(NAME ${name} COMMAND ${name}_test)
    endif()
endfunction()

function(galena_program name)
    cmake_parse_arguments(ARG "" "" "LIBS" ${ARGN})
    file(GLOB sources CONFIGURE_DEPENDS *.cpp)
    add_executable(${name} ${sources})
    target_link_libraries(${name} PRIVATE galena_options ${ARG_LIBS})
endfunction()
