/**
 * Measures the processor time of a call by stage, for registers of several
 * sizes. With bundles as arguments, compares them in turn without profiles;
 * otherwise builds the bundle of this folder and prints its stages.
 *
 * @module
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { parseArgs } from "node:util";
import { formatTable } from "../format_table.ts";
import { runSequentially } from "../run_sequentially.ts";
import { buildNodeBundle } from "./build_node_bundle.ts";
import { CallStage } from "./call_stage.ts";
import { runStageCase } from "./run_stage_case.ts";

const { values, positionals } = parseArgs({
  options: {
    servers: { type: "string", default: "12,60,300" },
    rate: { type: "string", default: "150" },
    seconds: { type: "string", default: "8" },
    "warm-up": { type: "string", default: "3" },
    // Parameters of the runtime, separated by spaces; several are compared.
    runtime: { type: "string", multiple: true, default: [""] },
    repeats: { type: "string", default: "2" },
    // A bundle whose stages are printed in place of this folder's.
    profile: { type: "string" },
    "build-only": { type: "string" },
  },
  allowPositionals: true,
});
const sizes = values.servers.split(",").map(Number);
const load = {
  callsPerSecond: Number(values.rate),
  seconds: Number(values.seconds),
  warmUpSeconds: Number(values["warm-up"]),
};
const runtimes = values.runtime.map((text) =>
  text.split(" ").filter((parameter) => parameter !== "")
);

async function printStages(): Promise<void> {
  const folder = mkdtempSync(join(tmpdir(), "catkinquay-bundle-"));
  const bundlePath = values.profile ?? join(folder, "node.cjs");
  if (values.profile === undefined) buildNodeBundle(bundlePath);
  const results = await runSequentially(
    sizes,
    (servers) =>
      runStageCase({
        ...load,
        bundlePath,
        servers,
        profiled: true,
        runtimeParameters: runtimes[0] ?? [],
      }),
  );
  const columns = [
    "microseconds of a call",
    ...sizes.map((size) => `${size} backend servers`),
  ];
  const rows = Object.values(CallStage).map((stage) => [
    stage,
    ...results.map(({ stages }) => Math.round(stages.get(stage) ?? 0)),
  ]);
  const totals = results.map(({ stages }) =>
    Math.round([...stages.values()].reduce((sum, time) => sum + time, 0))
  );
  const failures = results.map(({ failed }) => failed);
  process.stdout.write(
    `${
      formatTable({
        title: "",
        columns,
        rows: [...rows, ["sum", ...totals], ["calls that failed", ...failures]],
      })
    }\n`,
  );
  rmSync(folder, { recursive: true, force: true });
}

async function printComparison(): Promise<void> {
  const repeats = Array.from(
    { length: Number(values.repeats) },
    (_, repeat) => repeat,
  );
  const cases = repeats.flatMap((repeat) =>
    sizes.flatMap((servers) =>
      positionals.flatMap((bundlePath) =>
        runtimes.map((runtimeParameters) => ({
          repeat,
          servers,
          bundlePath,
          runtimeParameters,
        }))
      )
    )
  );
  await runSequentially(
    cases,
    async ({ repeat, servers, bundlePath, runtimeParameters }) => {
      const result = await runStageCase({
        ...load,
        bundlePath,
        servers,
        profiled: false,
        runtimeParameters,
      });
      const { callMicroseconds, startMilliseconds, failed } = result;
      process.stdout.write(
        `repeat ${repeat + 1}, ${servers} backend servers, ${bundlePath} ${
          runtimeParameters.join(" ")
        }: ${
          Math.round(callMicroseconds)
        } us a call, ${startMilliseconds} ms of two starts, ${failed} failed\n`,
      );
    },
  );
}

if (values["build-only"] !== undefined) buildNodeBundle(values["build-only"]);
else if (positionals.length > 0) await printComparison();
else await printStages();
