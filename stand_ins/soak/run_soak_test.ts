import test from "ava";
import { runSoak } from "./run_soak.ts";

/**
 * Seeds of the soaks that every check runs: a baseline, and each seed that has
 * failed, with the cause of its failure.
 */
const seeds = [
  { seed: 1, cause: "baseline" },
] as const;

seeds.forEach(({ seed, cause }) =>
  test.serial(`soak with seed ${seed} (${cause}) breaks no promise`, async (t) => {
    const report = await runSoak({
      seed,
      vms: 4,
      seconds: 8,
      program: "dist/platform/main.js",
      basePort: 18_900,
    });
    t.deepEqual(report.violations, []);
    t.true((report.statuses["200"] ?? 0) > report.calls / 2);
  })
);
