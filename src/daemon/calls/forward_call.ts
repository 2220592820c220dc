import type { ForwardedCall } from "../../calls/forwarded_call.ts";
import type { BackendServer } from "../../configuration/backend_server.ts";
import type { AnswerReceiver } from "./answer_receiver.ts";
import type { CallsNode } from "./calls_node.ts";
import type { Exchange } from "./exchange.ts";
import { runForwardedCall } from "./run_forwarded_call.ts";
import { sendForwardedCall } from "./send_forwarded_call.ts";

/** Forwards a call to the node beside the backend server, over a connection or, if that is this node, in process. */
export function forwardCall(
  node: CallsNode,
  call: ForwardedCall,
  options: {
    readonly server: BackendServer;
    readonly receiver: AnswerReceiver;
  },
): Exchange {
  const { server, receiver } = options;
  const { settings, environment } = node.options;
  if (server.name === settings.backendServer?.name) {
    const control = runForwardedCall(node, call, { receiver, remote: false });
    return {
      cancel: () => control?.onCallerLeft(),
      resume: () => control?.resume(),
    };
  }
  return sendForwardedCall(node.pools.get(server.nodeAddress), call, {
    receiver,
    bufferedBytesMaximum: settings.limits.bufferedAnswerBytes,
    now: () => environment.clock.now(),
  });
}
