import type { LoopCounts } from "../runtime/loop_counts.ts";
import type { LoopLag } from "../runtime/loop_lag.ts";
import { loopLagToleranceMilliseconds } from "../runtime/loop_lag_tolerance_milliseconds.ts";
import { maintenanceIntervalMilliseconds } from "./maintenance_interval_milliseconds.ts";
import type { MeshReporter } from "./mesh_reporter.ts";

/**
 * Creates the function that reports a late check of the event loop, with the
 * turns and events since the check before. It is called before a check is
 * recorded, with the instant in milliseconds since the Unix epoch, and writes at
 * most one line.
 */
export function createLoopLagReport(
  report: Pick<MeshReporter, "state">,
  options: {
    readonly lag: LoopLag;
    readonly readCounts: () => LoopCounts;
  },
): (now: number) => void {
  const { lag, readCounts } = options;
  let last = readCounts();
  return (now) => {
    const previous = last;
    last = readCounts();
    const late = now - lag.checkedAt - maintenanceIntervalMilliseconds;
    if (late <= loopLagToleranceMilliseconds) return;
    report.state("event-loop", {
      state: "behind",
      lateMilliseconds: Math.round(late),
      turns: last.turns - previous.turns,
      events: last.events - previous.events,
    });
  };
}
