import { createRandomSource } from "../../runtime/create_random_source.ts";
import type { AuditEntry } from "../../telemetry/audit_entry.ts";
import { createVirtualTime } from "../../testing/create_virtual_time.ts";
import type { TestEnvironment } from "./test_environment.ts";

const startInstant = 1_000_000;

/**
 * Creates an environment whose clock starts at 1,000,000 ms since the Unix
 * epoch and whose random source is seeded with `seed`.
 */
export function createTestEnvironment(seed: number): TestEnvironment {
  const { clock, timers, advanceTo } = createVirtualTime(startInstant);
  const auditEntries: Omit<AuditEntry, "at" | "vm">[] = [];
  const activeTimers = new Set<object>();
  const doNothing = () => {};
  return {
    clock,
    timers: {
      at(instant, callback) {
        const timer = {};
        activeTimers.add(timer);
        const handle = timers.at(instant, () => {
          activeTimers.delete(timer);
          callback();
        });
        return {
          cancel() {
            activeTimers.delete(timer);
            handle.cancel();
          },
        };
      },
    },
    random: createRandomSource(seed),
    auditTrail: { record: (entry) => void auditEntries.push(entry) },
    log: {
      debug: doNothing,
      info: doNothing,
      warn: doNothing,
      error: doNothing,
    },
    auditEntries,
    advanceTo,
    countTimers: () => activeTimers.size,
  };
}
