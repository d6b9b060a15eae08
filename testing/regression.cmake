add_test(NAME regression_script_test
         COMMAND ${CMAKE_CURRENT_SOURCE_DIR}/regression_script_test.sh)
