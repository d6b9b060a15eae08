wb_program(wagtail-sim SRCS wagtail_sim.cc DEPS wb_emulator)
