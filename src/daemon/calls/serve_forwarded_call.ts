import type { IncomingMessage, ServerResponse } from "node:http";
import { decodeForwardedCall } from "../../calls/decode_forwarded_call.ts";
import { formatDiagnostic } from "../../diagnostics/format_diagnostic.ts";
import type { CallsNode } from "./calls_node.ts";
import { createResponseReceiver } from "./create_response_receiver.ts";
import { readBody } from "./read_body.ts";
import { runForwardedCall } from "./run_forwarded_call.ts";

const statusBadRequest = 400;
const statusContentTooLarge = 413;

/** Handles one call that another node forwards to this node. */
export function serveForwardedCall(
  node: CallsNode,
  request: IncomingMessage,
  response: ServerResponse,
): void {
  response.on("error", () => undefined);
  readBody(request, {
    maximumBytes: node.options.settings.limits.requestBodyBytes,
    onTooLarge: () => endWithStatus(response, statusContentTooLarge),
    onComplete: (body) => {
      const { headers, rawHeaders } = request;
      decodeForwardedCall({ headers, rawHeaders, body }).match({
        Ok: (call) => {
          const control = runForwardedCall(node, call, {
            receiver: createResponseReceiver(response, call),
            remote: true,
          });
          response.on("drain", () => control?.resume());
          response.on("close", () => {
            if (!response.writableFinished) {
              control?.onContactLost();
            }
          });
        },
        Err: (diagnostic) => {
          node.options.environment.log.warn(
            { diagnostic },
            formatDiagnostic(diagnostic),
          );
          endWithStatus(response, statusBadRequest);
        },
      });
    },
  });
}

function endWithStatus(response: ServerResponse, status: number): void {
  response.writeHead(status, { connection: "close", "content-length": "0" });
  response.end();
}
