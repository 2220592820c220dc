import { STATUS_CODES } from "node:http";

/** Returns the bytes of a whole HTTP/1.1 response that closes its connection, for sockets without a request object. */
export function formatRawResponse(
  response: {
    readonly status: number;
    /** Names and values in turn. */
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
