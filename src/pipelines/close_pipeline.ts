import { listRequestsBehind } from "./list_requests_behind.ts";
import type { Pipeline } from "./pipeline.ts";
import type { PipelinedRequest } from "./pipelined_request.ts";

/**
 * Closes the pipeline. Requests that wait are never begun, and the work on those
 * whose responses can no longer be sent is cancelled: on those after `behind`,
 * the request whose response ends the connection, or on all if `behind` is
 * undefined, since the connection has ended.
 */
export function closePipeline(
  pipeline: Pipeline,
  { behind }: { readonly behind: PipelinedRequest | undefined },
): void {
  pipeline.isClosed = true;
  pipeline.waiting = [];
  const unanswerable = behind === undefined
    ? Array.from(pipeline.begun)
    : listRequestsBehind(pipeline, behind);
  unanswerable.forEach((request) => {
    pipeline.begun.delete(request);
    request.cancel();
  });
}
