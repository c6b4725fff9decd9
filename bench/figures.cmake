pomelohall_program(bench_figures
  SOURCES ${CMAKE_CURRENT_SOURCE_DIR}/figures.cc
  LINK pomelohall::slo)
