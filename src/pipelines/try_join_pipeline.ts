import type { Pipeline } from "./pipeline.ts";
import type { PipelinedRequest } from "./pipelined_request.ts";

/**
 * Requests of one connection that are in work at once. Responses keep the order
 * of the requests, so answers behind a slow one only wait in memory.
 */
const begunMaximum = 8;

/** A caller that sends without end must not fill the memory. */
const waitingMaximum = 64;

/**
 * Adds a request that has arrived, and begins it if few enough are in work. On a
 * closed pipeline it is never begun: its sender will send it again. Returns false
 * if too many wait already, so that the request has to be refused.
 */
export function tryJoinPipeline(
  pipeline: Pipeline,
  request: PipelinedRequest,
): boolean {
  if (pipeline.isClosed) return true;
  if (pipeline.begun.size < begunMaximum) {
    pipeline.begun.add(request);
    request.begin();
    return true;
  }
  if (pipeline.waiting.length >= waitingMaximum) return false;
  pipeline.waiting = [...pipeline.waiting, request];
  return true;
}
