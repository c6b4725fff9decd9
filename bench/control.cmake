pomelohall_program(bench_control
  SOURCES control_slopes.cc control_network.cc control_baselines.cc
    control_daemon.cc allocation_counter.cc
  LINK pomelohall::membership pomelohall::distribution pomelohall::messages
    pomelohall::model)
