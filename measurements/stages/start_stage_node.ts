import { type ChildProcess, spawn } from "node:child_process";
import { writeFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";

const sampleMicroseconds = "250";

/** Starts a node of a bundle; its settings file and profile are in `folder`. */
export function startStageNode(
  bundlePath: string,
  options: {
    readonly folder: string;
    readonly name: string;
    readonly settings: readonly string[];
    readonly profiled: boolean;
    readonly runtimeParameters: readonly string[];
  },
): ChildProcess {
  const settingsPath = join(options.folder, `${options.name}.conf`);
  writeFileSync(settingsPath, options.settings.join("\n"));
  const profileParameters = [
    "--cpu-prof",
    `--cpu-prof-dir=${options.folder}`,
    `--cpu-prof-name=${options.name}.cpuprofile`,
    `--cpu-prof-interval=${sampleMicroseconds}`,
  ];
  return spawn(
    process.execPath,
    [
      "--max-old-space-size=158",
      ...options.runtimeParameters,
      ...(options.profiled ? profileParameters : []),
      bundlePath,
    ],
    {
      env: { PATH: process.env["PATH"], CATKINQUAY_CONFIG: settingsPath },
      stdio: ["ignore", "ignore", "inherit"],
    },
  );
}
