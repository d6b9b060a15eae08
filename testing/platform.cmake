wb_library(wb_fake_platform
           SRCS fakes/in_memory_platform.cc fakes/fake_platform_server.cc
           DEPS wb_store PkgConfig::HTTPLIB)
wb_program(wagtail-fake-platform SRCS fake_platform_main.cc
           DEPS wb_fake_platform)
wb_test(platform_test
        SRCS ${CMAKE_SOURCE_DIR}/wagtailbend/store/platform_test.cc
        DEPS wb_fake_platform)
