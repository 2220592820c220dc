import { STATUS_CODES } from "node:http";

/**
 * Returns the text of a complete HTTP/1.1 response that closes its connection,
 * for sockets without a `ServerResponse`.
 */
export function formatRawResponse(
  response: {
    readonly status: number;
    /** Alternating names and values. */
    readonly headers: readonly string[];
    readonly body: string;
  },
): string {
  const headers = [
    ...response.headers,
    "content-length",
    String(Buffer.byteLength(response.body)),
    "connection",
    "close",
  ];
  const lines = headers.flatMap((name, index) =>
    index % 2 === 0 ? [`${name}: ${headers[index + 1]}`] : []
  );
  return [
    `HTTP/1.1 ${response.status} ${STATUS_CODES[response.status]}`,
    ...lines,
    "",
    response.body,
  ].join("\r\n");
}
