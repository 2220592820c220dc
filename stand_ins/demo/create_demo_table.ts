import Table from "cli-table3";
import type { DemoTable } from "./demo_table.ts";

const columnWidths = [9, 36, 76];
const millisecondsPerSecond = 1000;

/** Creates a table that writes its header at once and each row when it is added. */
export function createDemoTable(write: (text: string) => void): DemoTable {
  const startedAt = Date.now();
  const writeRow = (cells: readonly string[]) => {
    const table = new Table({
      colWidths: columnWidths,
      wordWrap: true,
      style: { head: [], border: [], compact: true },
      chars: {
        top: "",
        "top-mid": "",
        "top-left": "",
        "top-right": "",
        bottom: "",
        "bottom-mid": "",
        "bottom-left": "",
        "bottom-right": "",
        left: "",
        right: "",
        middle: " ",
      },
    });
    table.push([...cells]);
    write(`${table.toString()}\n`);
  };
  writeRow(["after", "step", "result"]);
  return {
    addRow(step, result) {
      const seconds = (Date.now() - startedAt) / millisecondsPerSecond;
      writeRow([`${seconds.toFixed(1)} s`, step, result]);
    },
  };
}
