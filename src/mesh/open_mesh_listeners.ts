import { Result } from "true-myth";
import type { Listener } from "../daemon/listener.ts";
import { openListener } from "../daemon/open_listener.ts";
import { refuseInvalidRequest } from "../daemon/refuse_invalid_request.ts";
import type { Diagnostic } from "../diagnostics/diagnostic.ts";
import type { MeshNode } from "./mesh_node.ts";
import { serveCallerRequest } from "./serve_caller_request.ts";
import { serveMetrics } from "./serve_metrics.ts";
import { servePeer } from "./serve_peer.ts";
import { serveUpgrade } from "./serve_upgrade.ts";
import { serveReadiness } from "./serve_readiness.ts";

const headerBytesMaximum = 65_536;
/**
 * Interval at which callers' requests are checked for heads that did not arrive
 * in time.
 */
const headerCheckIntervalMilliseconds = 1_000;

/**
 * Binds the listeners of a node, the one for callers first. Fails if one of
 * them cannot be bound.
 */
export async function openMeshListeners(
  node: MeshNode,
): Promise<Result<readonly Listener[], Diagnostic>> {
  const { callers, nodes, readiness, metrics } = node.settings.listeners;
  const common = {
    requestHeaderBytes: headerBytesMaximum,
    onInvalidRequest: refuseInvalidRequest,
  };
  const opened = await Promise.all([
    openListener({
      ...common,
      address: callers,
      headerCheckIntervalMilliseconds,
      onRequest: (request, response) =>
        serveCallerRequest(node, request, response),
    }),
    openListener({
      ...common,
      address: nodes,
      onRequest: (request, response) => servePeer(node, request, response),
      onUpgrade: (request, upgraded) => serveUpgrade(node, request, upgraded),
    }),
    openListener({
      ...common,
      address: readiness,
      onRequest: (_request, response) => serveReadiness(node, response),
    }),
    ...(metrics === undefined ? [] : [openListener({
      ...common,
      address: metrics,
      onRequest: (_request, response) => serveMetrics(node, response),
    })]),
  ]);
  const failed = opened.find((result) => result.isErr);
  if (failed?.isErr) return Result.err(failed.error);
  return Result.ok(
    opened.flatMap((result) => result.isOk ? [result.value] : []),
  );
}
