import type { ImproperAnswer } from "./improper_answer.ts";

/** One answer for each kind of fault, for every place that reads answers. */
export const improperAnswers: readonly ImproperAnswer[] = [
  {
    name: "a status that is not defined",
    create: ({ lines, body }) =>
      `HTTP/1.1 000 X\r\n${lines}${getLengthLine(body)}\r\n${body}`,
    hasProperHead: false,
    isReset: false,
  },
  {
    name: "another version",
    create: ({ status, lines, body }) =>
      `HTTP/2.0 ${status}\r\n${lines}${getLengthLine(body)}\r\n${body}`,
    hasProperHead: false,
    isReset: false,
  },
  {
    name: "another protocol",
    create: ({ status, lines, body }) =>
      `RTSP/1.0 ${status}\r\n${lines}${getLengthLine(body)}\r\n${body}`,
    hasProperHead: false,
    isReset: false,
  },
  {
    name: "a blank in the name of a field",
    create: ({ status, lines, body }) =>
      `HTTP/1.1 ${status}\r\n${lines}x y: 1\r\n${
        getLengthLine(body)
      }\r\n${body}`,
    hasProperHead: false,
    isReset: false,
  },
  {
    name: "a control byte in the name of a field",
    create: ({ status, lines, body }) =>
      `HTTP/1.1 ${status}\r\n${lines}x\x01y: 1\r\n${
        getLengthLine(body)
      }\r\n${body}`,
    hasProperHead: false,
    isReset: false,
  },
  {
    name: "a transfer coding that was not requested",
    create: ({ status, lines, body }) =>
      `HTTP/1.1 ${status}\r\n${lines}transfer-encoding: gzip\r\n\r\n${body}`,
    hasProperHead: false,
    isReset: false,
  },
  {
    name: "fewer bytes than its length",
    create: ({ status, lines, body }) =>
      `HTTP/1.1 ${status}\r\n${lines}${getLengthLine(`${body}x`)}\r\n${body}`,
    hasProperHead: true,
    isReset: false,
  },
  {
    name: "a reset in place of its end",
    create: ({ status, lines, body }) =>
      `HTTP/1.1 ${status}\r\n${lines}\r\n${body}`,
    hasProperHead: true,
    isReset: true,
  },
];

function getLengthLine(body: string): string {
  return `content-length: ${Buffer.byteLength(body)}\r\n`;
}
