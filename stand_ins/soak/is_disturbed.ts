import type { SoakRecord } from "./soak_record.ts";

/** Whether a VM was disturbed at any time between two instants in milliseconds since the Unix epoch. */
export function isDisturbed(
  record: SoakRecord,
  options: {
    readonly vm: number;
    readonly from: number;
    readonly until: number;
  },
): boolean {
  return record.disturbances.some(({ vm, from, until }) =>
    vm === options.vm && from <= options.until && until >= options.from
  );
}
