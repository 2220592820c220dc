import type { ImproperAnswer } from "./improper_answer.ts";

type ProperParts = Parameters<ImproperAnswer["create"]>[0];

/** One answer for each kind of fault, for every place that reads answers. */
export const improperAnswers: readonly ImproperAnswer[] = [
  {
    name: "a status that is not defined",
    create: (proper) => formatAnswer({ ...proper, status: "000 X" }),
    hasProperHead: false,
    isReset: false,
  },
  {
    name: "another version",
    create: (proper) => formatAnswer({ ...proper, version: "HTTP/2.0" }),
    hasProperHead: false,
    isReset: false,
  },
  {
    name: "another protocol",
    create: (proper) => formatAnswer({ ...proper, version: "RTSP/1.0" }),
    hasProperHead: false,
    isReset: false,
  },
  {
    name: "a blank in the name of a field",
    create: (proper) => addLine(proper, "x y: 1\r\n"),
    hasProperHead: false,
    isReset: false,
  },
  {
    name: "a control byte in the name of a field",
    create: (proper) => addLine(proper, "x\x01y: 1\r\n"),
    hasProperHead: false,
    isReset: false,
  },
  {
    name: "a transfer coding that was not requested",
    create: (proper) =>
      formatAnswer({ ...proper, framing: "transfer-encoding: gzip\r\n" }),
    hasProperHead: false,
    isReset: false,
  },
  {
    name: "fewer bytes than its length",
    create: (proper) =>
      formatAnswer({ ...proper, framing: getLengthLine(`${proper.body}x`) }),
    hasProperHead: true,
    isReset: false,
  },
  {
    name: "a reset in place of its end",
    create: (proper) => formatAnswer({ ...proper, framing: "" }),
    hasProperHead: true,
    isReset: true,
  },
];

function addLine(proper: ProperParts, line: string): string {
  return formatAnswer({ ...proper, lines: proper.lines + line });
}

function formatAnswer(
  parts: ProperParts & {
    readonly version?: string;
    /** The line that states where the body ends; that of its length if omitted. */
    readonly framing?: string;
  },
): string {
  const { version = "HTTP/1.1", status, lines, body } = parts;
  const framing = parts.framing ?? getLengthLine(body);
  return `${version} ${status}\r\n${lines}${framing}\r\n${body}`;
}

function getLengthLine(body: string): string {
  return `content-length: ${Buffer.byteLength(body)}\r\n`;
}
