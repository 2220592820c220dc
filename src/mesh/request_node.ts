import { type IncomingMessage, request as sendRequest } from "node:http";
import { text } from "node:stream/consumers";
import { createAnswerCheck } from "./create_answer_check.ts";
import { destroyOnReset } from "./destroy_on_reset.ts";
import { limitReceivedBytes } from "./limit_received_bytes.ts";
import type { MeshNode } from "./mesh_node.ts";
import { trackConnection } from "./track_connection.ts";

const replyBytesMaximum = 4_194_304;
const okStatus = 200;

/**
 * Sends a request to the node on `host` and resolves with the body of its reply;
 * undefined without a complete reply of status 200 until `deadline`, in
 * milliseconds since the Unix epoch.
 */
export function requestNode(
  node: MeshNode,
  options: {
    readonly host: string;
    readonly headers: Readonly<Record<string, string>>;
    readonly body: string;
    readonly deadline: number;
  },
): Promise<string | undefined> {
  const { host, headers, body, deadline } = options;
  return new Promise((resolve) => {
    const outgoing = sendRequest({
      agent: node.nodesAgent,
      host,
      port: node.settings.listeners.nodes.port,
      method: "POST",
      headers: {
        ...headers,
        "content-length": String(Buffer.byteLength(body)),
      },
    });
    const timer = node.timers.at(deadline, () => outgoing.destroy());
    limitReceivedBytes(outgoing, { bytesMaximum: replyBytesMaximum });
    trackConnection(outgoing);
    const isProperAnswer = createAnswerCheck(outgoing);
    let hasReply = false;
    outgoing.once("response", (reply) => {
      if (!isProperAnswer(reply)) {
        outgoing.destroy();
        return;
      }
      hasReply = true;
      destroyOnReset(reply);
      readReply(reply).then(resolve, () => resolve(undefined));
    });
    outgoing.on("error", () => resolve(undefined));
    outgoing.once("close", () => {
      timer.cancel();
      // The end of a reply is read after the request has closed.
      if (!hasReply) resolve(undefined);
    });
    outgoing.end(body);
  });
}

async function readReply(reply: IncomingMessage): Promise<string | undefined> {
  const body = await text(reply);
  return reply.statusCode === okStatus ? body : undefined;
}
