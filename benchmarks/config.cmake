wb_program(config_bench SRCS config_bench.cc DEPS wb_config wb_fake_platform)
