wb_program(wagtail-load SRCS wagtail_load.cc DEPS wb_client wb_load wb_schema)
