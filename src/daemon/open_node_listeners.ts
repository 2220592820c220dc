import type { RequestListener } from "node:http";
import { Result } from "true-myth";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import type { NetworkAddress } from "../runtime/network_address.ts";
import type { Listener } from "./listener.ts";
import type { NodeListeners } from "./node_listeners.ts";
import type { NodeSettings } from "./node_settings.ts";
import { openListener } from "./open_listener.ts";
import { refuseInvalidRequest } from "./refuse_invalid_request.ts";

/** Allowance for the headers that a node adds to a forwarded call. */
const forwardedHeaderBytes = 4096;

/** Binds the three listeners of a node; if one fails, the others are closed again. */
export async function openNodeListeners(
  settings: NodeSettings,
  handlers: Readonly<Record<keyof NodeListeners, RequestListener>>,
): Promise<Result<NodeListeners, Diagnostic>> {
  const { requestHeaderBytes } = settings.limits;
  function open(
    address: NetworkAddress,
    onRequest: RequestListener,
    headerBytes = requestHeaderBytes,
  ): Promise<Result<Listener, Diagnostic>> {
    return openListener({
      address,
      onRequest,
      onInvalidRequest: refuseInvalidRequest,
      requestHeaderBytes: headerBytes,
    });
  }
  const opened = await Promise.all([
    open(settings.listeners.callers, handlers.callers),
    open(
      settings.listeners.nodes,
      handlers.nodes,
      requestHeaderBytes + forwardedHeaderBytes,
    ),
    open(settings.listeners.operators, handlers.operators),
  ]);
  const [callers, nodes, operators] = opened;
  if (callers.isOk && nodes.isOk && operators.isOk) {
    return Result.ok({
      callers: callers.value,
      nodes: nodes.value,
      operators: operators.value,
    });
  }
  opened
    .filter((result) => result.isOk)
    .forEach((result) => result.value.destroy());
  const failed = opened.find((result) => result.isErr);
  return Result.err((failed as { readonly error: Diagnostic }).error);
}
