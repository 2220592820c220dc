import type { ProcessUsage } from "./process_usage.ts";

/** Linux reports processor time in ticks of 1/100 s. */
const millisecondsPerTick = 10;
const pageBytes = 4096;
const userTimeField = 11;
const systemTimeField = 12;
const residentPagesField = 21;

/**
 * Parses the line of `/proc/PID/stat`. Field indexes are relative to the closing
 * bracket of the program name, since the name may contain spaces and brackets.
 */
export function parseProcessUsage(line: string): ProcessUsage {
  const fields = line.slice(line.lastIndexOf(")") + 2).trim().split(" ");
  const read = (index: number) => Number(fields[index] ?? 0);
  return {
    processorMilliseconds: (read(userTimeField) + read(systemTimeField)) *
      millisecondsPerTick,
    residentBytes: read(residentPagesField) * pageBytes,
  };
}
