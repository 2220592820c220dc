import type { IncomingMessage, ServerResponse } from "node:http";
import { closePipeline } from "../pipelines/close_pipeline.ts";
import { leavePipeline } from "../pipelines/leave_pipeline.ts";
import { listRequestsBehind } from "../pipelines/list_requests_behind.ts";
import type { PipelinedRequest } from "../pipelines/pipelined_request.ts";
import { tryJoinPipeline } from "../pipelines/try_join_pipeline.ts";
import type { CallerTurn } from "./caller_turn.ts";
import { getCallerPipeline } from "./get_caller_pipeline.ts";
import type { MeshNode } from "./mesh_node.ts";

/**
 * Calls `begin` when the caller's request may be begun: at once, or when few
 * enough requests of its connection are in work. It is not called if the
 * connection ends before that. Calls `refuse` instead if too many requests of the
 * connection wait already.
 */
export function joinCallerPipeline(
  node: MeshNode,
  options: {
    readonly request: IncomingMessage;
    readonly response: ServerResponse;
    readonly begin: (turn: CallerTurn) => void;
    readonly refuse: () => void;
  },
): void {
  const { request, response, begin, refuse } = options;
  const pipeline = getCallerPipeline(node, request.socket);
  const cancellation = new AbortController();
  const pipelined: PipelinedRequest = { begin: beginRequest, cancel };
  if (!tryJoinPipeline(pipeline, pipelined)) refuse();

  function beginRequest(): void {
    node.callerCalls.add(cancellation);
    response.once("close", handleClose);
    begin({
      cancellation,
      isUnanswerable: () =>
        !pipeline.begun.has(pipelined) || response.destroyed,
      hasRequestsBehind: () =>
        listRequestsBehind(pipeline, pipelined).length > 0,
      endConnection: () => closePipeline(pipeline, { behind: pipelined }),
    });
  }

  function handleClose(): void {
    if (!pipeline.begun.has(pipelined)) return;
    if (!response.writableFinished) cancellation.abort();
    node.callerCalls.delete(cancellation);
    leavePipeline(pipeline, pipelined);
  }

  /** The response of a request behind others does not report the end of the connection. */
  function cancel(): void {
    node.callerCalls.delete(cancellation);
    cancellation.abort();
  }
}
