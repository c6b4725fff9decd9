pomelohall_program(bench_calls
  SOURCES call_policy.cc call_micro.cc call_poison.cc call_simulation.cc
  LINK pomelohall::ledger pomelohall::policy pomelohall::quarantine
    pomelohall::routing benchmark::benchmark)
