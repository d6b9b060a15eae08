wb_library(wb_fake_target SRCS fake_replies.cc fake_call.cc fake_target.cc
                silent_relay.cc
           DEPS wb_schema wb_proto wb_answers wb_daemon)
wb_program(wagtail-fake-target SRCS fake_target_main.cc
           DEPS wb_fake_target PkgConfig::HTTPLIB)
