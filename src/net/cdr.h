/// \file
/// Defines writing and reading of messages between instances with ACE's CDR
/// codec, with bounds on every length that comes from the network.

#ifndef CHERVILMUX_NET_CDR_H_
#define CHERVILMUX_NET_CDR_H_

#include <ace/CDR_Stream.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace chervilmux::net {

class CdrWriter {
 public:
  void Put(std::uint64_t value);
  void PutSigned(std::int64_t value);
  void PutText(std::string_view text);

  /// The bytes written so far.
  std::string Bytes() const;

 private:
  ACE_OutputCDR stream;
};

/// Reads what CdrWriter wrote. After any failed read Good() is false and every
/// further value is zero or empty.
class CdrReader {
 public:
  explicit CdrReader(std::string_view bytes);

  std::uint64_t Get();
  std::int64_t GetSigned();
  std::string GetText();
  bool Good() const { return this->good; }

 private:
  std::string storage;  ///< CDR needs 8-byte alignment of its input.
  ACE_InputCDR stream;
  bool good = true;
};

}  // namespace chervilmux::net

#endif  // CHERVILMUX_NET_CDR_H_
