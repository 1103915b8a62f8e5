//! Control VMs as one of them knows them.

use std::fmt;

use serde::{
    Deserialize,
    Deserializer,
    Serialize,
    Serializer,
    de::{
        Error,
        SeqAccess,
        Visitor, //
    },
    ser::SerializeTuple, //
};

use crate::message::Member;

/// Control VMs, and how recent the list is. A VM that receives one never goes back to an older one.
///
/// The index is encoded after the members: builds that do not know it ignore it, and a list that ends
/// before it has index 0.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberList {
    /// The control VMs.
    pub members: Vec<Member>,
    /// Index of the last command that the list reflects. With 0 the list may be incomplete.
    pub index: u64,
}

impl MemberList {
    /// A list of VMs that need not be all.
    ///
    /// ```
    /// use camphordale_fleet::MemberList;
    ///
    /// assert_eq!(MemberList::partial(Vec::new()).index, 0);
    /// ```
    pub fn partial(members: Vec<Member>) -> MemberList {
        MemberList { members, index: 0 }
    }
}

impl Serialize for MemberList {
    fn serialize<Sink>(&self, serializer: Sink) -> Result<Sink::Ok, Sink::Error>
    where
        Sink: Serializer,
    {
        let mut tuple = serializer.serialize_tuple(2)?;
        tuple.serialize_element(&self.members)?;
        tuple.serialize_element(&self.index)?;
        tuple.end()
    }
}

impl<'de> Deserialize<'de> for MemberList {
    fn deserialize<Source>(deserializer: Source) -> Result<MemberList, Source::Error>
    where
        Source: Deserializer<'de>,
    {
        struct WithIndex;

        impl<'de> Visitor<'de> for WithIndex {
            type Value = MemberList;

            fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str("control VMs, and an index after them")
            }

            fn visit_seq<Elements>(
                self,
                mut elements: Elements,
            ) -> Result<MemberList, Elements::Error>
            where
                Elements: SeqAccess<'de>,
            {
                let missing = || Elements::Error::custom("the members are missing");
                let members = elements.next_element()?.ok_or_else(missing)?;
                let index = elements.next_element().ok().flatten().unwrap_or(0);
                Ok(MemberList { members, index })
            }
        }

        deserializer.deserialize_tuple(2, WithIndex)
    }
}
