import { listRequestsBehind } from "./list_requests_behind.ts";
import type { Pipeline } from "./pipeline.ts";
import type { PipelinedRequest } from "./pipelined_request.ts";

/**
 * Closes the pipeline behind a request whose response ends the connection;
 * without `behind`, behind none, since the connection is gone. Requests that
 * wait are never begun, and the work on those behind is cancelled, since no
 * response can reach their sender.
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
