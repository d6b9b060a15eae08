wb_program(wagtaild-http SRCS wagtaild_http.cc DEPS wb_node wb_users_platform)
