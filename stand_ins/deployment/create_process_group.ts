import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import type { Child } from "./child.ts";
import { getBuildPath } from "./get_build_path.ts";
import type { ProcessGroup } from "./process_group.ts";
import { startChild } from "./start_child.ts";

/** Creates an empty process group; its processes are killed when this process exits. */
export function createProcessGroup(): ProcessGroup {
  const folder = mkdtempSync(join(tmpdir(), "catkinquay-"));
  const children = new Set<Child>();
  const killAll = () => children.forEach((child) => kill(child));
  const cleanUp = () => {
    killAll();
    rmSync(folder, { recursive: true, force: true });
  };
  process.once("exit", cleanUp);
  return {
    start(name, { program, parameters = [], settings }) {
      const file = join(folder, `${name}.json`);
      writeFileSync(file, JSON.stringify(settings));
      const child = startChild(name, [
        getBuildPath(program),
        ...parameters,
        "--settings",
        file,
      ]);
      children.add(child);
      child.ended.then(() => children.delete(child));
      return child;
    },
    async end() {
      const exits = [...children].map((child) => child.ended);
      killAll();
      await Promise.all(exits);
      process.removeListener("exit", cleanUp);
      cleanUp();
    },
  };
}

/** Kills a process that still runs, also one that SIGSTOP has suspended. */
function kill(child: Child): void {
  if (child.process.exitCode === null) {
    child.process.kill("SIGKILL");
  }
}
