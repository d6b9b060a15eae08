wb_test(control_test SRCS control_test.cc DEPS wb_deployment wb_config)
add_dependencies(control_test wagtaild wagtail-fake-target wagtail-fake-platform)
target_compile_definitions(control_test PRIVATE
  WB_BIN_DIR="${CMAKE_BINARY_DIR}/bin")
# Entries of their own, because they stand in KNOWN-RED.txt.
set(spread_case "FourDomains.ConfigurationSpreadsAndOutlivesThePlatform")
add_test(NAME config_spread_test COMMAND control_test)
set_tests_properties(config_spread_test PROPERTIES RUN_SERIAL TRUE
  ENVIRONMENT "GTEST_FILTER=${spread_case}")
set(crash_case "Control.CrashingRequestCostsTwoTargets")
add_test(NAME control_crash_test COMMAND control_test)
set_tests_properties(control_crash_test PROPERTIES RUN_SERIAL TRUE
  ENVIRONMENT "GTEST_FILTER=${crash_case}")
set_tests_properties(control_test PROPERTIES RUN_SERIAL TRUE
  ENVIRONMENT "GTEST_FILTER=-${spread_case}:${crash_case}")
