import test from "ava";
import { Client } from "undici";
import { formatAddress } from "../../runtime/format_address.ts";
import type { ImproperAnswer } from "../../testing/mesh/improper_answer.ts";
import { improperAnswers } from "../../testing/mesh/improper_answers.ts";
import { startImproperServer } from "../../testing/mesh/start_improper_server.ts";
import { createAnswerCollector } from "./create_answer_collector.ts";

const host = "127.0.0.1";
const proper = { status: "200 OK", lines: "", body: "cake" };

/** Sends a call to a server that gives one answer; resolves with how the exchange ends. */
async function exchange(answer: ImproperAnswer): Promise<string> {
  const { address, close } = await startImproperServer(host, {
    answer,
    proper,
  });
  const client = new Client(`http://${formatAddress(address)}`);
  const end = await new Promise<string>((resolve) => {
    const { handler } = createAnswerCollector({
      method: "POST",
      bufferedBytesMaximum: 1_024,
      events: {
        onStart: () => undefined,
        onInterimResponse: () => undefined,
        onHead: () => true,
        onComplete: () => resolve("complete"),
        onStreamStart: () => undefined,
        onChunk: () => true,
        onStreamEnd: () => resolve("complete"),
        onNotSent: () => resolve("not sent"),
        onBroken: () => resolve("broken"),
      },
    });
    client.dispatch({ method: "POST", path: "/", body: "order" }, handler);
  });
  await client.destroy();
  close();
  return end;
}

const furtherAnswers: readonly ImproperAnswer[] = [
  {
    name: "a status above those that are defined",
    create: ({ body }) => `HTTP/1.1 600 X\r\ncontent-length: 4\r\n\r\n${body}`,
    hasProperHead: false,
    isReset: false,
  },
  ...["gzip, chunked", "chunked, chunked", "x-chunked"].map((codings) => ({
    name: `the transfer codings "${codings}"`,
    create: ({ body }: { readonly body: string }) =>
      `HTTP/1.1 200 OK\r\ntransfer-encoding: ${codings}\r\n\r\n4\r\n${body}\r\n0\r\n\r\n`,
    hasProperHead: false,
    isReset: false,
  })),
];

[...improperAnswers, ...furtherAnswers].forEach((answer) =>
  test(`an answer with ${answer.name} is broken`, async (t) => {
    t.is(await exchange(answer), "broken");
  })
);
