wb_library(wb_deployment SRCS process.cc deployment.cc caller.cc
                unary_caller.cc
           DEPS wb_fake_target PkgConfig::HTTPLIB)
target_compile_definitions(wb_deployment PRIVATE
  WB_SOURCE_DIR="${CMAKE_SOURCE_DIR}" WB_BIN_DIR="${CMAKE_BINARY_DIR}/bin")
wb_test(process_test SRCS process_test.cc DEPS wb_deployment)
wb_test(path_test SRCS path_test.cc DEPS wb_deployment)
wb_test(path_fault_test SRCS path_fault_test.cc DEPS wb_deployment)
wb_test(traffic_test SRCS traffic_test.cc trace_test.cc DEPS wb_deployment)
wb_test(wagtaild_test SRCS wagtaild_test.cc DEPS wb_deployment)
target_compile_definitions(wagtaild_test PRIVATE
  WB_SOURCE_DIR="${CMAKE_SOURCE_DIR}" WB_BIN_DIR="${CMAKE_BINARY_DIR}/bin")
foreach(test path_test path_fault_test traffic_test
              wagtaild_test)
  add_dependencies(${test} wagtaild wagtail-fake-target)
  set_tests_properties(${test} PROPERTIES RUN_SERIAL TRUE)
endforeach()
