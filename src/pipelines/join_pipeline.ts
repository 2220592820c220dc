import type { Pipeline } from "./pipeline.ts";
import type { PipelinedRequest } from "./pipelined_request.ts";

/**
 * Requests of one connection that are in work at once. Responses keep the order
 * of the requests, so answers behind a slow one only wait in memory.
 */
const begunMaximum = 8;

/**
 * Adds a request that has arrived, and begins it if few enough are in work. On a
 * closed pipeline it is never begun: its sender will send it again.
 */
export function joinPipeline(
  pipeline: Pipeline,
  request: PipelinedRequest,
): void {
  if (pipeline.isClosed) return;
  if (pipeline.begun.size >= begunMaximum) {
    pipeline.waiting = [...pipeline.waiting, request];
    return;
  }
  pipeline.begun.add(request);
  request.begin();
}
