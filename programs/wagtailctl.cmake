wb_library(wb_ctl SRCS wagtailctl.cc wagtailctl_apply.cc
           DEPS wb_config wb_settings wb_proto)
target_compile_definitions(wb_ctl PRIVATE WB_VERSION="${PROJECT_VERSION}")
wb_program(wagtailctl SRCS wagtailctl_main.cc DEPS wb_ctl)
wb_test(wagtailctl_test SRCS wagtailctl_test.cc DEPS wb_ctl wb_fake_platform)
target_compile_definitions(wagtailctl_test
                           PRIVATE WB_SOURCE_DIR="${CMAKE_SOURCE_DIR}")
