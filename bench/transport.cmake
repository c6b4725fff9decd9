pomelohall_program(bench_transport
  SOURCES transport.cc
  LINK pomelohall::peer Threads::Threads)
