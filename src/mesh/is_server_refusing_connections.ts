import { connect } from "node:net";
import type { NetworkAddress } from "../runtime/network_address.ts";
import { scheduleAfterInput } from "../runtime/schedule_after_input.ts";

/**
 * A refusal arrives within a millisecond or two on the same VM. A full backend
 * server lets connections wait, and calls wait for the result.
 */
const connectTimeoutMilliseconds = 20;
const rejectedCode = "ECONNREFUSED";

/**
 * Resolves with whether nothing listens at the address. A timeout is no sign of
 * that: the VM may be slow.
 */
export function isServerRefusingConnections(
  { host, port }: NetworkAddress,
): Promise<boolean> {
  return new Promise((resolve) => {
    const socket = connect(port, host, () => finish(false));
    const timeout = scheduleAfterInput(
      connectTimeoutMilliseconds,
      () => finish(false),
    );
    socket.on(
      "error",
      (error: NodeJS.ErrnoException) => finish(error.code === rejectedCode),
    );

    function finish(isRefusing: boolean): void {
      timeout.cancel();
      socket.destroy();
      resolve(isRefusing);
    }
  });
}
