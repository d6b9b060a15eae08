wb_program(wagtaild SRCS wagtaild.cc DEPS wb_daemon)
