const significantDigits = 3;

/** Formats a number with three significant digits and without an exponent; a dash if it is not finite. */
export function formatNumber(value: number): string {
  if (!Number.isFinite(value)) {
    return "–";
  }
  if (Math.abs(value) >= 100) {
    return String(Math.round(value));
  }
  return String(Number(value.toPrecision(significantDigits)));
}
