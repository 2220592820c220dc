import type { BackendServerView } from "./backend_server_view.ts";

/** Returns the initial view of a backend server: all its slots count as free. */
export function createBackendServerView(slots: number): BackendServerView {
  return {
    freeSlots: slots,
    reportedAt: 0,
    record: undefined,
    recordReceivedAt: 0,
    avoidedUntil: 0,
    failures: 0,
    workRefusals: 0,
    processGone: false,
    probingUntil: 0,
  };
}
