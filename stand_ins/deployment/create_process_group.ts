import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import type { Child } from "./child.ts";
import { getBuildPath } from "./get_build_path.ts";
import type { ProcessGroup } from "./process_group.ts";
import { startChild } from "./start_child.ts";

/** Creates a group without processes; whatever ends this process ends them too. */
export function createProcessGroup(): ProcessGroup {
  const folder = mkdtempSync(join(tmpdir(), "catkinquay-"));
  const children = new Set<Child>();
  const killAll = () => children.forEach((child) => kill(child));
  const clean = () => {
    killAll();
    rmSync(folder, { recursive: true, force: true });
  };
  process.once("exit", clean);
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
      const endings = [...children].map((child) => child.ended);
      killAll();
      await Promise.all(endings);
      process.removeListener("exit", clean);
      clean();
    },
  };
}

/** A stopped process takes SIGKILL too. */
function kill(child: Child): void {
  if (child.process.exitCode === null) {
    child.process.kill("SIGKILL");
  }
}
