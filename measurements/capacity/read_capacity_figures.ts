import { existsSync, readFileSync } from "node:fs";
import { join } from "node:path";
import type { CapacityFigures } from "./capacity_figures.ts";

/** Reads the figures that the program wrote into a folder of results. */
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

/** The files are the program's own, so their shape is that of the measures. */
function readData<Data>(folder: string, name: string): Data | undefined {
  const path = join(folder, `${name}.json`);
  return existsSync(path)
    ? (JSON.parse(readFileSync(path, "utf8")) as { data: Data }).data
    : undefined;
}
