import test from "ava";
import { runSoak } from "./run_soak.ts";

/**
 * Seeds of the soaks that every check runs: a baseline, and each seed that has
 * failed, with the cause of its failure.
 */
const seeds = [
  { seed: 1, vms: 4, seconds: 8, cause: "baseline" },
  {
    seed: 904,
    vms: 6,
    seconds: 15,
    cause: "a limit was judged by calls before it was stated",
  },
  {
    seed: 925,
    vms: 6,
    seconds: 15,
    cause: "a backend server of the run before was started again",
  },
] as const;

seeds.forEach(({ seed, vms, seconds, cause }) =>
  test.serial(`soak with seed ${seed} (${cause}) breaks no promise`, async (t) => {
    const report = await runSoak({
      seed,
      vms,
      seconds,
      program: "dist/platform/main.js",
      basePort: 18_900,
    });
    t.deepEqual(report.violations, []);
    t.true((report.statuses["200"] ?? 0) > report.calls / 2);
  })
);
