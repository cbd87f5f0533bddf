find_package(Threads REQUIRED)
find_package(OpenSSL REQUIRED)
find_package(CURL REQUIRED)
find_package(nlohmann_json 3.11 REQUIRED)
find_package(Boost 1.74 REQUIRED)
find_library(PISTACHE_LIBRARY pistache REQUIRED)
find_library(LOG4CPLUS_LIBRARY log4cplus REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_library(CBOR_LIBRARY cbor REQUIRED)
find_library(RAPIDCHECK_LIBRARY rapidcheck REQUIRED)
find_package(benchmark REQUIRED)

# peridotward_package(NAME deps...) adds the static library of one package from
# src/*.cpp, with include/ as a public include directory.
function(peridotward_package name)
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/src/*.cpp)
    add_library(peridotward_${name} STATIC ${sources})
    target_include_directories(peridotward_${name}
        PUBLIC ${CMAKE_CURRENT_SOURCE_DIR}/include
        PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src)
    target_link_libraries(peridotward_${name} PUBLIC ${ARGN})
endfunction()

# peridotward_subfolder_sources(NAME) adds src/*/*.cpp to a package whose sources
# are in subfolders.
function(peridotward_subfolder_sources name)
    file(GLOB sources CONFIGURE_DEPENDS
        ${CMAKE_CURRENT_SOURCE_DIR}/src/*/*.cpp)
    target_sources(peridotward_${name} PRIVATE ${sources})
endfunction()

# peridotward_tests(NAME deps...) adds one test program from tests/*.cpp.
function(peridotward_tests name)
    if(NOT BUILD_TESTING)
        return()
    endif()
    file(GLOB sources CONFIGURE_DEPENDS ${CMAKE_CURRENT_SOURCE_DIR}/tests/*.cpp)
    if(NOT sources)
        return()
    endif()
    add_executable(${name}_tests ${sources})
    target_include_directories(${name}_tests
        PRIVATE ${CMAKE_CURRENT_SOURCE_DIR}/src ${CMAKE_CURRENT_SOURCE_DIR}/tests)
    target_link_libraries(${name}_tests
        PRIVATE peridotward_${name} catch_main ${RAPIDCHECK_LIBRARY} ${ARGN})
    add_test(NAME ${name} COMMAND ${name}_tests)
    # A fixed RapidCheck seed makes generated cases the same on every run.
    set_tests_properties(${name} PROPERTIES
        TIMEOUT 300 ENVIRONMENT "RC_PARAMS=seed=20261204")
endfunction()

# Catch2's main takes 10 s to compile, so all test programs share one object
# library.
if(BUILD_TESTING OR NOT DEFINED BUILD_TESTING)
    add_library(catch_main OBJECT ${CMAKE_SOURCE_DIR}/tests/catch_main.cpp)
endif()
