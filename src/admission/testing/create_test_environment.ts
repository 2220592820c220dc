import { createRandomSource } from "../../runtime/create_random_source.ts";
import type { AuditEntry } from "../../telemetry/audit_entry.ts";
import { createVirtualTime } from "../../testing/create_virtual_time.ts";
import type { TestEnvironment } from "./test_environment.ts";

const startInstant = 1_000_000;

/** Creates an environment whose clock starts at 1,000,000 and whose random numbers follow from `seed`. */
export function createTestEnvironment(seed: number): TestEnvironment {
  const { clock, timers, advanceTo } = createVirtualTime(startInstant);
  const auditEntries: Omit<AuditEntry, "at" | "vm">[] = [];
  const active = new Set<object>();
  const ignore = () => {};
  return {
    clock,
    timers: {
      at(instant, callback) {
        const token = {};
        active.add(token);
        const handle = timers.at(instant, () => {
          active.delete(token);
          callback();
        });
        return {
          cancel() {
            active.delete(token);
            handle.cancel();
          },
        };
      },
    },
    random: createRandomSource(seed),
    auditTrail: { record: (entry) => void auditEntries.push(entry) },
    log: { debug: ignore, info: ignore, warn: ignore, error: ignore },
    auditEntries,
    advanceTo,
    countTimers: () => active.size,
  };
}
