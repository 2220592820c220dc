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
  {
    seed: 52,
    vms: 6,
    seconds: 15,
    reusesAddresses: true,
    cause:
      "an address went to the other service, whose backend server ran calls",
  },
] as const;

seeds.forEach(({ cause, ...options }) =>
  test.serial(`soak with seed ${options.seed} (${cause}) breaks no promise`, async (t) => {
    const report = await runSoak({
      ...options,
      program: "dist/platform/main.js",
      basePort: 18_900,
    });
    t.deepEqual(report.violations, []);
    t.true((report.statuses["200"] ?? 0) > report.calls / 2);
  })
);
