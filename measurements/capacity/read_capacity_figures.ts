import { existsSync, readFileSync } from "node:fs";
import { join } from "node:path";
import type { CapacityFigures } from "./capacity_figures.ts";

/** Reads the JSON results that the measures wrote into a folder. */
export function readCapacityFigures(folder: string): CapacityFigures {
  return {
    fleet: readData(folder, "fleet"),
    compile: readData(folder, "compile"),
    peers: readData(folder, "peers"),
    cost: readData(folder, "cost"),
    question: readData(folder, "question"),
    ledger: readData(folder, "ledger"),
  };
}

/** Returns the data of one result file, unvalidated since the measures write these files themselves. */
function readData<Data>(folder: string, name: string): Data | undefined {
  const path = join(folder, `${name}.json`);
  return existsSync(path)
    ? (JSON.parse(readFileSync(path, "utf8")) as { data: Data }).data
    : undefined;
}
