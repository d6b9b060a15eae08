set(WB_WARNINGS -Wall -Wextra -Werror)

# wb_library(NAME SRCS a.cc... DEPS other...): a static library of one folder.
function(wb_library name)
  cmake_parse_arguments(ARG "" "" "SRCS;DEPS" ${ARGN})
  add_library(${name} STATIC ${ARG_SRCS})
  target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR})
  target_compile_options(${name} PRIVATE ${WB_WARNINGS})
  target_link_libraries(${name} PUBLIC Threads::Threads ${ARG_DEPS})
endfunction()

# wb_program(NAME SRCS a.cc... DEPS other...): an executable under build/bin.
function(wb_program name)
  cmake_parse_arguments(ARG "" "" "SRCS;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SRCS})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR})
  target_compile_options(${name} PRIVATE ${WB_WARNINGS})
  target_compile_definitions(${name} PRIVATE WB_VERSION="${PROJECT_VERSION}")
  target_link_libraries(${name} PRIVATE Threads::Threads ${ARG_DEPS})
  set_target_properties(${name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()

# wb_test(NAME SRCS a_test.cc... DEPS other...): one ctest entry using GoogleTest.
# Defines nothing in a build of the HTTP path alone.
function(wb_test name)
  if(WB_HTTP_ONLY)
    return()
  endif()
  cmake_parse_arguments(ARG "" "" "SRCS;DEPS" ${ARGN})
  add_executable(${name} ${ARG_SRCS})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR})
  target_compile_options(${name} PRIVATE ${WB_WARNINGS})
  target_link_libraries(${name} PRIVATE ${ARG_DEPS} GTest::gtest GTest::gmock GTest::gtest_main)
  add_test(NAME ${name} COMMAND ${name})
endfunction()
